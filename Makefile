# The two main commands, on a machine that has the packages listed in .ci/run:
#   make demo   runs hosts and stand-in engines as real processes and sends
#               requests through them
#   make check  checks the format, lints, builds with sanitizers, runs all tests

JOBS ?= 8
C_FILES = $(wildcard src/*/*.[ch] platform/*.[ch] standin/*.[ch] bench/*.[ch] tests/*.[ch] tests/stub/*.[ch] tests/corpus/*.[ch] tests/soak/*.[ch] examples/*.[ch])
CPP_FILES = $(wildcard tests/*.cpp)

# Regular expression for the tests that start threads. Only these run under the
# thread sanitizer, which has nothing to find in single-threaded tests.
THREAD_TESTS = test_(mailbox|http_server|upstream_http|metrics|span_log|fleet_view|router|relay|odd_config|no_path|refused|broken_answers|endless_answers|crashing_part|tcp_link|log_writer|stray_answers|unanswered_at_stop|idle_relay)|real_(stop|faulty_upstreams|group|platform)

.PHONY: all demo check check-thread test bench soak soak-real soak-mutants format check-format lint install clean doc

all:
	@cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build -j $(JOBS) -- --no-print-directory

demo: all
	tools/demo.sh build

check: check-format lint test check-thread

# Runs every test under the address and undefined behaviour sanitizers.
test:
	tools/check.sh build-asan address,undefined ''

# Runs the tests that start threads again, under the thread sanitizer.
check-thread:
	tools/check.sh build-tsan thread '$(THREAD_TESTS)'

bench: all
	tools/bench.sh build

soak: all
	tools/soak.sh build

# Injects faults drawn from seeds into the real programs: first the recorded
# seeds that failed before, then SOAK_COUNT new seeds from SOAK_FIRST on.
SOAK_FIRST ?= 1
SOAK_COUNT ?= 50
soak-real: all
	python3 tests/soak/soak.py build --file tests/soak/seeds.txt
	python3 tests/soak/soak.py build --seeds $(SOAK_FIRST) $(SOAK_COUNT)

# Checks the soak test itself: it must fail for each protective mechanism that
# is switched off in a copy of the sources.
soak-mutants:
	tests/soak/mutants.sh

format:
	clang-format -i $(C_FILES) $(CPP_FILES)

check-format:
	clang-format --dry-run --Werror $(C_FILES) $(CPP_FILES)

lint: all
	tools/lint.sh build

doc:
	doxygen docs/Doxyfile

install: all
	cmake --install build

clean:
	rm -rf build build-asan build-tsan

# Writes docs/EVENTS.md, the catalogue of log events. A test fails if it differs
# from the events in the code.
.PHONY: events
events: all
	(cat docs/events-head.md; build/chicorytack events) > docs/EVENTS.md
