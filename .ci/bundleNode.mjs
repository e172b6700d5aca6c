/** Bundles the program of the users' platform into one file under `target/`: a process that starts often loads one file. */
import { build } from "esbuild";

const require = "import{createRequire as createRequireOfBundle}from'node:module';"
    + "const require=createRequireOfBundle(import.meta.url);";

await build({
    entryPoints: ["src/binaries/node/index.ts"],
    outfile: "target/binaries/node/index.js",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifyWhitespace: true,
    minifySyntax: true,
    keepNames: true,
    sourcemap: "linked",
    logLevel: "warning",
    // Libraries written for CommonJS load Node.js modules with `require`.
    banner: { js: require },
});
