/**
 * Bundles `tarragonpost-node`, the program for the users' platform, into one file under `target/` and stores its V8 code
 * cache beside it: a process that starts after a loss of power must serve within a second.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync } from "node:fs";

const folder = "target/binaries/node";
const warmUpMilliseconds = 30_000;

mkdirSync(folder, { recursive: true });
await build({
    entryPoints: ["src/binaries/node/index.ts"],
    outfile: `${folder}/bundle.cjs`,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: "const bundleUrl=require('node:url').pathToFileURL(__filename).href;" },
});
copyFileSync(".ci/startBundle.cjs", `${folder}/index.cjs`);
// The flags must match those of the deploy file: V8 rejects a code cache that was created under other flags.
const flags = ["--max-old-space-size=200"];
const warmUp = "target/warmUpNode.mjs";
await build({
    entryPoints: [".ci/warmUpNode.ts"],
    outfile: warmUp,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    logLevel: "warning",
    packages: "external",
});
try {
    execFileSync(process.execPath, [warmUp, folder, ...flags], { stdio: "inherit", timeout: warmUpMilliseconds });
}
catch (error) {
    console.error(`The warm-up failed (${error.message}); the code cache holds the start of the program only.`);
    execFileSync(process.execPath, [...flags, `${folder}/index.cjs`, "--compile"], { stdio: "inherit" });
}
