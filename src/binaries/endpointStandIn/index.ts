#!/usr/bin/env node
import { createEmulatedNetwork } from "../../network/createEmulatedNetwork/index.js";
import { createNeutralNetwork } from "../../network/createNeutralNetwork/index.js";
import { createEndpointStandIn } from "../../standIns/endpoint/createEndpointStandIn/index.js";
import { endpointStandInSchema } from "../../standIns/endpoint/endpointStandInSchema/index.js";
import { readStandInSettings } from "../../standIns/readStandInSettings/index.js";
import { runStandIn } from "../../standIns/runStandIn/index.js";

await runStandIn({
    name: "tarragonpost-endpoint-stand-in",
    description: "Stands in for one endpoint of a database group in tests.",
    run: async settingsPath => {
        const settings = await readStandInSettings(settingsPath, endpointStandInSchema);
        const localZone = settings.availabilityZone;
        const emulated = settings.emulatedNetwork === undefined ? undefined : createEmulatedNetwork({
            localZone,
            processName: settings.name,
            publisher: settings.emulatedNetwork,
        });
        await emulated?.start();
        const endpoint = createEndpointStandIn(settings, emulated ?? createNeutralNetwork(localZone));
        await endpoint.start();
        const ports = { port: endpoint.port(), adminPort: endpoint.adminPort() };
        process.stdout.write(`${JSON.stringify({ listening: true, ...ports })}\n`);

        async function stop(): Promise<void> {
            await endpoint.stop();
            await emulated?.stop();
        }

        return { stop };
    },
});
