#!/bin/sh
# Checks formatting, layering, symbols and forbidden calls. Prints each finding
# and exits with a non-zero status if there are any.
set -u
bad=0
fail() {
	echo "lint: $*"
	bad=1
}

sources=$(git ls-files '*.c' '*.h' | grep -v pb-c)
clang-format --dry-run --Werror $sources 2>&1 | head -20 | grep . && bad=1

# forbid_includes FOLDER OTHER...: a folder includes only headers of folders
# whose objects live longer than its own.
forbid_includes() {
	folder=$1
	shift
	for other in "$@"; do
		grep -n "#include \"$other/" src/"$folder"/*.[ch] |
			sed "s/^/lint: layering: /" | grep . && bad=1
	done
}
forbid_includes process entry request connection version job pool fleet node
forbid_includes version entry request connection job pool fleet node
forbid_includes request entry connection job pool fleet node
forbid_includes connection entry request version job pool fleet node
forbid_includes job entry request connection version process pool fleet node
forbid_includes pool entry request connection version fleet node
forbid_includes fleet entry request connection version process node
forbid_includes node entry request version
forbid_includes entry job pool fleet node

# Only platform/ uses the platform's names and translates them.
grep -nE 'rows-(tx|get|feed|parts)|run-(start|stop)|machine-(move|upkeep)|ackedUpto|setKeys|taskSpec|blob-' \
	src/*/*.[ch] cli/*.[ch] daemon/*.c && bad=1
grep -rn '#include "platform/' src cli daemon && bad=1

# Product code starts no processes and uses no shared memory or io_uring.
grep -nE '\b(system|popen|posix_spawn|execv[pe]*|fork|shm_open|io_uring_[a-z]+) ?\(' \
	src/*/*.c daemon/*.c cli/*.c platform/*.c && bad=1

# A global function must not shadow a symbol of a shared library.
if [ -f build/jackdawwelld ]; then
	nm --defined-only build/jackdawwelld | awk '$2 == "T" { print $3 }' |
		sort >build/own-symbols.txt
	for l in $(ldd build/jackdawwelld | awk '/=>/ { print $3 }'); do
		nm -D --defined-only "$l" 2>/dev/null |
			awk '{ sub(/@.*/, "", $3); print $3 }'
	done | sort -u >build/library-symbols.txt
	shadowed=$(comm -12 build/own-symbols.txt build/library-symbols.txt |
		grep -vE '^(_init|_fini|_start|main)$')
	[ -z "$shadowed" ] || fail "symbols shadow those of a library: $shadowed"
fi

cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	--enable=warning,portability --suppress=missingIncludeSystem \
	--suppress=normalCheckLevelMaxBranches -Isrc -I. \
	src daemon cli standin platform || bad=1

python3 tools/pages.py || bad=1

[ $bad = 0 ] && echo "lint: clean"
exit $bad
