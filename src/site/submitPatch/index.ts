import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { Address } from "../../network/types/Address.js";
import { runOperator } from "../runOperator/index.js";
import type { SitePlan } from "../types/SitePlan.js";

/** Options of `submitPatch`. */
interface SubmitPatchOptions {
    /** The version that the patch is submitted against. */
    readonly against: number;
    /** Folder of the site, where the patch is written to a file. */
    readonly folder: string;
    /** Waits until the version is in force everywhere. */
    readonly waitsUntilInForce?: boolean;
    /** Index of the VM whose gateway receives the patch; any gateway that answers if omitted. */
    readonly vmIndex?: number;
}

/**
 * Submits a configuration patch with the operator program, as an operator would.
 *
 * @param plan The site.
 * @param patch The patch.
 * @param options The version that it is submitted against and the folder for its file.
 * @returns The output of the program.
 * @throws TarragonpostError of kind `Unexpected` when the program fails.
 *
 * @example
 * await submitPatch(site.plan, { limits: { requestBytes: 65_536 } }, { against: 1, folder: site.folder });
 */
export async function submitPatch(plan: SitePlan, patch: object, options: SubmitPatchOptions): Promise<string> {
    const file = join(options.folder, `patch-${options.against + 1}-${options.vmIndex ?? 0}.jsonc`);
    await writeFile(file, JSON.stringify(patch, undefined, 4));
    const waitArguments = options.waitsUntilInForce === true ? ["--wait"] : [];
    const commandArguments = ["config", "patch", file, "--against", String(options.against), ...waitArguments];
    return runOperator(commandArguments, { folder: options.folder, gateway: gatewayOf(plan, options.vmIndex) });
}

function gatewayOf(plan: SitePlan, vmIndex: number | undefined): Address | undefined {
    return vmIndex === undefined ? undefined : plan.vms[vmIndex]?.gateway;
}
