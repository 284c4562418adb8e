"""Checks that names quoted in the documentation still exist.

Of the names in backticks, files and folders must exist, functions must occur
in src/, make targets must be in the Makefile, and the slopes that CAPACITY.md
quotes must be measured.
"""

import glob
import os
import re
import sys


def read_files(pattern):
    text = ""
    for path in glob.glob(pattern, recursive=True):
        with open(path) as f:
            text += f.read()
    return text


def missing_references(page, code, makefile, slopes):
    with open(page) as f:
        quoted = re.findall(r"`([^`\n]+)`", f.read())
    for q in quoted:
        if re.fullmatch(r"(src|test|bench|tools|docs|examples)/[\w./-]+", q):
            if not os.path.exists(q.rstrip("/")):
                yield q
        elif re.fullmatch(r"build/(test|bench)/\w+", q):
            if not os.path.exists(q[len("build/"):] + ".c"):
                yield q
        elif re.fullmatch(r"[a-z_0-9]+\(\)", q):
            if not re.search(rf"\b{q[:-2]}\(", code):
                yield q
        elif re.fullmatch(r"make [a-z-]+", q):
            if not re.search(rf"^{q[5:]}:", makefile, re.M):
                yield q
        elif (page.endswith("CAPACITY.md")
              and re.fullmatch(r"[a-z]+-[a-z]+", q)):
            if f'"{q}"' not in slopes:
                yield q


def main():
    code = read_files("src/**/*.c")
    makefile = read_files("Makefile")
    slopes = read_files("bench/slopes.c") + read_files("tools/slopes.py")
    status = 0
    for page in sorted(glob.glob("docs/**/*.md", recursive=True)
                       + ["README.md"]):
        for q in missing_references(page, code, makefile, slopes):
            print(f"{page}: `{q}` is not in the tree")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
