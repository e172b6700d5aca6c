import type { Clock } from "../../clock/types/Clock.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import { dutyConstants } from "../constants.js";
import { createReportedVersions } from "../createReportedVersions/index.js";
import type { RelayedMembers } from "../types/RelayedMembers.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** A member and the time of its last renewal. */
interface Member {
    readonly vm: VmIdentity;
    readonly contactAt: number;
}

/**
 * Creates the list of the VMs whose renewals this VM answers as a relay. The relay reports the list to the holder when
 * it has changed.
 *
 * @param clock Source of time.
 * @returns The list, empty.
 *
 * @example
 * members.recordContact(renewal.vm);
 */
export function createRelayedMembers(clock: Clock): RelayedMembers {
    const members = new Map<string, Member>();
    /** Also of members that are silent: they may still rely on an answer of this VM. */
    const reports = createReportedVersions(clock);
    let version = 0;
    let returnedVersion = 0;
    let confirmed = { token: 0, version: -1 };

    function recordContact(vm: VmIdentity, endpointVersion: StoreVersion): void {
        if (members.get(vm.name)?.vm.incarnation !== vm.incarnation) {
            version += 1;
        }
        members.set(vm.name, { vm, contactAt: clock.now() });
        reports.record(vm, endpointVersion, undefined);
    }

    function remove(name: string): void {
        if (members.delete(name)) {
            version += 1;
        }
    }

    function removeSilent(): void {
        const now = clock.now();
        for (const [name, { contactAt }] of members) {
            if (now - contactAt > dutyConstants.memberTimeoutMilliseconds) {
                remove(name);
            }
        }
    }

    function listUnreported(token: number): readonly VmIdentity[] | undefined {
        removeSilent();
        returnedVersion = version;
        const isConfirmed = confirmed.token === token && confirmed.version === version;
        return isConfirmed ? undefined : [...members.values()].map(({ vm }) => vm);
    }

    return {
        recordContact,
        remove,
        listUnreported,
        findCommonVersion: () => reports.findCommonVersion(),
        confirm: token => {
            confirmed = { token, version: returnedVersion };
        },
    };
}
