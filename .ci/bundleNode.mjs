/**
 * Bundles the program of the users' platform into one file under `target/`, with the code that V8 compiled for it: a
 * process that starts after a loss of power has to serve within a second.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync } from "node:fs";

const folder = "target/binaries/node";

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
    keepNames: true,
    logLevel: "warning",
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: "const bundleUrl=require('node:url').pathToFileURL(__filename).href;" },
});
copyFileSync(".ci/startBundle.cjs", `${folder}/index.cjs`);
// The flags have to be those of the deploy file: V8 refuses code that was compiled under others.
execFileSync(process.execPath, ["--max-old-space-size=200", `${folder}/index.cjs`, "--compile"], { stdio: "inherit" });
