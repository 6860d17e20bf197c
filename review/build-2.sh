#!/bin/sh
# Prepares the scripts of review/6 to 10. They start only the project's programs
# of the deploy file's build and stand-ins in review/common-2 and in the cases,
# which are Python files of the standard library alone, so there is nothing to
# compile: this checks that they can be read. Run it after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -x target/chicorytack || { echo "target/chicorytack is not built"; exit 1; }
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "the stand-ins of review/6 to 10 are ready"
