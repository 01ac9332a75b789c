SHELL = /bin/bash
BUILD ?= build
# Build targets; all if empty.
TARGETS ?=
PACKAGES = g++ cmake ninja-build make ccache clang-format clang-tidy python3 \
  libboost-dev libnng-dev libcli11-dev libgoogle-glog-dev nlohmann-json3-dev \
  libfmt-dev librapidcheck-dev libxxhash-dev libgtest-dev

.PHONY: all install build test demo bench format check-format lint

all: build

# Installs missing Debian packages.
install:
	@missing=$$(for p in $(PACKAGES); do \
	  dpkg-query -W -f '$${Status}' $$p 2>/dev/null | grep -q 'ok installed' || echo $$p; done); \
	if [ -n "$$missing" ]; then \
	  apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $$missing; fi

build: install
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS)
	cmake --build $(BUILD) $(if $(TARGETS),--target $(TARGETS))

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 8 $(CTEST_FLAGS)

demo: build
	examples/demo.sh $(BUILD)

bench: build
	$(BUILD)/bench/pomelokeel_bench
	for file in bench/scenarios/*.scn; do \
	  $(BUILD)/tests/scenario --pomelokeel $(BUILD)/pomelokeel --standin $(BUILD)/tests/standin $$file \
	    | grep -E '^(figure|violation|failed)'; done

SOURCES = $$(git ls-files '*.cc' '*.h')

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run --Werror $(SOURCES)

# clang-tidy on all sources that the build compiles.
lint: build
	git ls-files '*.cc' | xargs -P 10 -n 1 clang-tidy -p $(BUILD) --quiet \
	  2> >(grep -v 'warnings generated' >&2)
