#!/usr/bin/env node
import { createPlatformStandIn } from "../../standIns/platform/createPlatformStandIn/index.js";
import { platformStandInSchema } from "../../standIns/platform/platformStandInSchema/index.js";
import { readStandInSettings } from "../../standIns/readStandInSettings/index.js";
import { runStandIn } from "../../standIns/runStandIn/index.js";

await runStandIn({
    name: "tarragonpost-platform-stand-in",
    description: "Stands in for the platform's service in tests; also publishes the emulated network.",
    run: async settingsPath => {
        const settings = await readStandInSettings(settingsPath, platformStandInSchema);
        const platform = createPlatformStandIn(settings);
        await platform.start();
        const ports = { port: platform.port(), adminPort: platform.adminPort(), networkPort: platform.networkPort() };
        process.stdout.write(`${JSON.stringify({ listening: true, ...ports })}\n`);
        return platform;
    },
});
