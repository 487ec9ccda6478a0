#!/usr/bin/env bash
# Bundles the programs of the users' platform into target/, and keeps beside each
# what the engine compiled of it in its first moments, so that boxes start soon.
set -eu
cd "$(dirname "$0")/.."

# As the programs are run: compiled code is used again only under the same flags.
gateway_memory=128
registry_memory=160
# Enough to open every port and to form a log, ms.
compile_ms=1500

if [ ! node_modules -nt package-lock.json ]; then
  npm ci --ignore-scripts --no-audit --no-fund --silent
fi

# The native part of cbor-x isn't installed; without the switch each start searches the disk for it.
node_modules/.bin/esbuild gateway=platform/gateway.ts registry=platform/registry.ts start=src/bin/start.ts \
  --bundle --platform=node --target=node20 --format=cjs --minify-whitespace --log-level=error \
  --define:process.env.CBOR_NATIVE_ACCELERATION_DISABLED='"true"' \
  --out-extension:.js=.cjs --outdir=target

# A program without its compiled code starts all the same, only later.
compile() {
  WRENLANE_BOOT="deploy/compile-$1.toml" node "--max-old-space-size=$2" target/start.cjs --compile "$compile_ms" "target/$1.cjs" > /dev/null ||
    echo "target/$1.cjs could not be run: it is compiled at each start" >&2
}
rm -rf target/compile-registry
compile gateway "$gateway_memory"
compile registry "$registry_memory"
rm -rf target/compile-registry
