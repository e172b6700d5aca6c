import assert from "node:assert/strict";
import { describeSmallSite } from "../../site/describeSmallSite/index.js";
import { waitForService } from "../../site/waitForService/index.js";
import { withSite } from "../../site/withSite/index.js";
import { hostileCallerConstants } from "../constants.js";
import { openCrowd } from "../openCrowd/index.js";
import type { Crowd } from "../types/Crowd.js";
import type { ProcessWatch } from "../types/ProcessWatch.js";
import { watchProcess } from "../watchProcess/index.js";

/** Options of `playEntryCrowd`. */
interface EntryPlayOptions extends Omit<Parameters<typeof openCrowd>[1], "count"> {
    /** Number of clients. */
    readonly count?: number;
    /** What has to come about before the clients leave; by default, that no byte passes any more. */
    readonly until?: (crowd: Crowd, watch: ProcessWatch) => Promise<void>;
}

/**
 * Starts a site whose entry has lowered limits, lets a crowd of HTTP clients misbehave, and checks that the entry has
 * stayed within its memory and descriptors and serves an ordinary caller afterwards.
 *
 * @param options What the crowd does.
 *
 * @example
 * await playEntryCrowd({ begin: socket => socket.write("POST /v1/databases/catalog-1/statements HTTP/1.1\r\n") });
 */
export async function playEntryCrowd(options: EntryPlayOptions): Promise<void> {
    const { crowdSize, heapMegabytes, memoryMegabytes, maximumDescriptors } = hostileCallerConstants;
    const description = {
        ...describeSmallSite(1),
        entryLimits: hostileCallerConstants.entryLimits,
        runtimeArguments: [`--max-old-space-size=${heapMegabytes}`],
    };
    await withSite(description, async site => {
        const [entry] = site.target.entries;
        const watch = watchProcess(site.findProcess(entry!.name).processId);
        const crowd = await openCrowd(entry!, { ...options, count: options.count ?? crowdSize });
        try {
            await (options.until?.(crowd, watch) ?? crowd.settled());
            crowd.stop();
            await waitForService(site.target);
            const use = watch.greatestUse();
            assert.deepEqual(site.unexpectedExits, []);
            assert.ok(use !== undefined, "the process has ended");
            assert.ok(use.megabytes <= memoryMegabytes, `memory: ${JSON.stringify(use)}`);
            assert.ok(use.descriptors <= maximumDescriptors, `descriptors: ${JSON.stringify(use)}`);
        }
        finally {
            crowd.stop();
            watch.stop();
        }
    });
}
