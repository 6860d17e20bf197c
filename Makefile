# Two commands do everything on a machine that has the packages of .ci/run:
#   make demo   the whole path, hosts and stand-ins as real processes
#   make check  format, lint, build with sanitizers, every test

JOBS ?= 8
C_FILES = $(wildcard src/*/*.[ch] platform/*.[ch] standin/*.[ch] bench/*.[ch] tests/*.[ch] tests/stub/*.[ch] tests/soak/*.[ch] examples/*.[ch])
CPP_FILES = $(wildcard tests/*.cpp)

# Tests whose code has threads; the others have nothing for that sanitizer.
THREAD_TESTS = test_(mailbox|http_server|upstream_http|metrics|span_log|fleet_view|router|relay|tcp_link|log_writer)|real_(stop|faulty_upstreams|group|platform)

.PHONY: all demo check check-thread test bench soak soak-real soak-mutants format check-format lint install clean doc

all:
	@cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build -j $(JOBS) -- --no-print-directory

demo: all
	tools/demo.sh build

check: check-format lint test check-thread

# Every test under the address and undefined behaviour sanitizers.
test:
	tools/check.sh build-asan address,undefined ''

# The tests with threads once more under the thread sanitizer.
check-thread:
	tools/check.sh build-tsan thread '$(THREAD_TESTS)'

bench: all
	tools/bench.sh build

soak: all
	tools/soak.sh build

# Seeded faults against the real programs: the seeds that ever failed, then
# fresh ones from SOAK_FIRST on.
SOAK_FIRST ?= 1
SOAK_COUNT ?= 50
soak-real: all
	python3 tests/soak/soak.py build --file tests/soak/seeds.txt
	python3 tests/soak/soak.py build --seeds $(SOAK_FIRST) $(SOAK_COUNT)

# Shows that the soak finds mechanisms that are switched off.
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

# The catalogue of log events, which a test holds equal to the code.
.PHONY: events
events: all
	(cat docs/events-head.md; build/chicorytack events) > docs/EVENTS.md
