#!/usr/bin/env bash
# Bundles the programs for the customer's platform into target/, each with a V8 code
# cache of what it runs at start, which shortens the start of boxes.
set -eu
cd "$(dirname "$0")/.."

# Heap limits in MB, as in the deployment: V8 accepts a code cache only under the same flags.
gateway_memory=128
registry_memory=160
# Time to run before writing the cache, ms: enough to open every port and to form a log.
compile_ms=1500

if [ ! node_modules -nt package-lock.json ]; then
  npm ci --ignore-scripts --no-audit --no-fund --silent
fi

# The native part of cbor-x is not installed; without this definition each start searches the disk for it.
node_modules/.bin/esbuild gateway=platform/gateway.ts registry=platform/registry.ts start=src/bin/start.ts \
  --bundle --platform=node --target=node20 --format=cjs --minify-whitespace --log-level=error \
  --define:process.env.CBOR_NATIVE_ACCELERATION_DISABLED='"true"' \
  --out-extension:.js=.cjs --outdir=target

# Failures are not fatal: a program without a code cache only starts more slowly.
compile() {
  WRENLANE_BOOT="deploy/compile-$1.toml" node "--max-old-space-size=$2" target/start.cjs --compile "$compile_ms" "target/$1.cjs" > /dev/null ||
    echo "target/$1.cjs failed to run, so it has no code cache and will be compiled at each start" >&2
}
rm -rf target/compile-registry
compile gateway "$gateway_memory"
compile registry "$registry_memory"
rm -rf target/compile-registry
