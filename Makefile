# Targets: all, demo, check, lint, bench, bench-slopes, soak, mutants, format,
# clean.
# `make SANITIZE=1 ...` builds with the address and undefined behavior
# sanitizers into build/sanitize.

CC = gcc
PACKAGES = libtalloc-dev libtevent-dev libmicrohttpd-dev \
	libcurl4-openssl-dev libprotobuf-c-dev libcyaml-dev libjansson-dev \
	libargtable2-dev libsodium-dev libxxhash-dev uthash-dev \
	libcmocka-dev \
	pkg-config gcc make python3 valgrind clang-format clang-tidy \
	cppcheck curl
MODULES = talloc tevent libmicrohttpd libcurl libprotobuf-c libcyaml jansson \
	argtable2 libsodium libxxhash

ifdef SANITIZE
B = build/sanitize
EXTRA = -fsanitize=address,undefined -fno-sanitize-recover=undefined
else
B = build
EXTRA =
endif

CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wno-unused-parameter \
	-Wmissing-prototypes -Wstrict-prototypes -D_GNU_SOURCE -Isrc -I. \
	$(EXTRA)
LIBS = $$(pkg-config --libs $(MODULES)) -lpthread -lm

LIB_SRC = $(wildcard src/*/*.c) proto/peer.pb-c.c proto/fleet.pb-c.c
LIB_OBJ = $(LIB_SRC:%.c=$(B)/%.o)
LIB = $(B)/libjackdawwell.a
BINS = $(B)/jackdawwelld $(B)/jackdawwell $(B)/jackdawwell-node
STANDINS = $(B)/standin/platform $(B)/standin/worker $(B)/standin/site \
	$(B)/standin/node
TESTS = $(patsubst test/%.c,$(B)/test/%,$(wildcard test/*.c))
BENCHES = $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/*.c))

all: $(BINS) $(STANDINS) $(TESTS) $(BENCHES)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(B)/jackdawwelld: $(B)/daemon/jackdawwelld.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

# The decoder of the operators' document; see src/job/config_document.h.
DECODER = $(B)/platform/decode.o $(B)/platform/reader.o $(B)/platform/json.o

$(B)/jackdawwell: $(patsubst %.c,$(B)/%.o,$(wildcard cli/*.c)) $(DECODER) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(B)/jackdawwell-node: $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c)) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

# The program that deploy/system.toml runs.
target/jackdawwell-node:
	@mkdir -p target
	$(MAKE) --no-print-directory B=target/build target/build/jackdawwell-node
	cp target/build/jackdawwell-node $@.new
	mv -f $@.new $@

# The node of tests that cut paths.
$(B)/standin/node: $(B)/standin/paths.o \
		$(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c)) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(B)/standin/%: $(B)/standin/%.o $(B)/standin/serve.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(B)/test/%: $(B)/test/%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(LIBS) -lcmocka

$(B)/test/ledger_walk: $(B)/test/walk/world.o

$(B)/test/evacuation_pool_test $(B)/test/evacuation_node_test $(B)/test/advice_test $(B)/test/attempts_test $(B)/test/drain_test $(B)/test/donor_test $(B)/test/job_test $(B)/test/lease_test $(B)/test/repeat_test $(B)/test/row_test $(B)/test/sched_test $(B)/test/stop_test $(B)/test/takeover_test $(B)/test/place_test $(B)/test/reserve_test $(B)/test/estimate_test $(B)/test/poll_test $(B)/test/restart_test $(B)/test/fleet_test $(B)/test/waits_test \
		$(B)/test/lost_answer_test $(B)/test/inbox_test $(B)/test/unanswered_test: \
		$(B)/test/rig/sched_rig.o

$(B)/test/share_test: $(B)/test/rig/share_rig.o

$(B)/test/drain_test $(B)/test/donor_test $(B)/test/waits_test \
		$(B)/test/unanswered_test: \
		$(B)/test/rig/drain_rig.o

$(B)/test/quiet_pool_test: $(B)/test/rig/course_rig.o

$(B)/test/reserve_test $(B)/test/estimate_test: $(B)/test/rig/run_rig.o

$(B)/test/overload_test $(B)/test/refusals_test: $(B)/test/rig/overload.o

$(B)/test/overload_test $(B)/test/refusals_test $(B)/test/leader_cost: \
		$(B)/test/rig/leader_rig.o

$(B)/test/election_test $(B)/test/reelection_test: \
		$(addprefix $(B)/test/rig/, \
			election.o site.o site_http.o site_store.o)

$(B)/test/job_test: $(B)/platform/job.o $(B)/platform/json.o

$(B)/test/config_lint_test: $(DECODER)

$(B)/test/fleet_walk: $(patsubst %.c,$(B)/%.o,$(wildcard test/walk/fleet_world*.c))

$(B)/test/upkeep_walk: $(patsubst %.c,$(B)/%.o,$(wildcard test/walk/upkeep_world*.c))

$(B)/bench/%: $(B)/bench/%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

# Installs missing packages; prints nothing if there are none.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
		{ apt-get update -qq && \
		DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
		$(PACKAGES) >/dev/null; }

proto:
	cd proto && protoc-c --c_out=. peer.proto fleet.proto

demo: packages
	@$(MAKE) --no-print-directory -s all
	@python3 tools/demo.py $(B)
	@python3 tools/demo_jobs.py $(B)

check: packages
	@$(MAKE) --no-print-directory -s -j all
	@python3 tools/check.py $(B)

bench: packages
	@$(MAKE) --no-print-directory -s all
	@python3 tools/bench.py $(B)

bench-slopes: packages
	@$(MAKE) --no-print-directory -s all
	@python3 tools/slopes.py $(B)

# Random faults, one minute per seed: SOAK="--seed 7 --count 10".
soak: packages
	@$(MAKE) --no-print-directory -s all
	@python3 tools/soak.py $(B) $(SOAK)

mutants: packages
	@python3 tools/mutants.py

lint: packages
	@sh tools/lint.sh

format:
	clang-format -i $$(git ls-files '*.c' '*.h' | grep -v pb-c)

clean:
	rm -rf build

-include $(wildcard $(B)/*/*.d $(B)/*/*/*.d)

.PHONY: all packages proto demo check bench bench-slopes soak mutants lint format \
	clean target/jackdawwell-node
.SECONDARY:
