#!/bin/sh
# Puts the libraries and the packages of the gateway into target/deps, compiled:
# an instance that starts must not spend its first second on compiling.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=$deps/.libraries
key="$(sh scripts/machine_kind.sh python3) $(cat deploy/requirements.txt constraints.txt | sha256sum)"
if [ "$(cat "$stamp" 2>/dev/null)" != "$key" ]; then
    # Starts empty: a library of another machine or interpreter does not load here.
    rm -rf "$deps"
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    echo "$key" > "$stamp"
fi
rm -rf "$deps/fireflyrack"
for package in core http_client telemetry routing discovery availability links forwarding peers gateway; do
    cp -rp "packages/$package/src/fireflyrack" "$deps/"
done
cp -rp platform/src/fireflyrack "$deps/"
python3 -m compileall -q "$deps/fireflyrack"
