#!/usr/bin/env node
import { runBinary } from "../../commandLine/runBinary/index.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { createPlatformStandIn } from "../../standIns/platform/createPlatformStandIn/index.js";
import { platformStandInSchema } from "../../standIns/platform/platformStandInSchema/index.js";
import { printPortsOnStart } from "../../standIns/printPortsOnStart/index.js";

await runBinary({
    name: "tarragonpost-platform-stand-in",
    description: "Emulates the platform's service in tests and publishes the emulated network.",
    readSettings: file => readSettings(file, platformStandInSchema),
    createServices: settings => [{
        name: ServiceName.PlatformStandIn,
        dependencies: [],
        create: () => {
            const platform = createPlatformStandIn(settings);
            return printPortsOnStart(platform, () => ({
                port: platform.port(),
                adminPort: platform.adminPort(),
                networkPort: platform.networkPort(),
            }));
        },
    }],
});
