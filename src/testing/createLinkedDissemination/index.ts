import type { DisseminatedRecord } from "../../dissemination/types/DisseminatedRecord.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import type { RecordKind } from "../../dissemination/types/RecordKind.js";

/** Dissemination between services in one process. */
interface LinkedDissemination {
    /** Creates the service of one more gateway. */
    join(): DisseminationService;
    /** While false, published records are not delivered to the other services. */
    setConnected(isConnected: boolean): void;
}

/**
 * Creates dissemination for tests and benchmarks: records are delivered directly between services in one process.
 *
 * @returns The link between the services.
 *
 * @example
 * const linked = createLinkedDissemination();
 * const first = linked.join();
 */
export function createLinkedDissemination(): LinkedDissemination {
    const members = new Set<DisseminationService>();
    let isConnected = true;

    function join(): DisseminationService {
        const records = new Map<string, DisseminatedRecord>();
        const listeners = new Map<RecordKind, Set<(record: DisseminatedRecord) => void>>();

        function publish(record: DisseminatedRecord): boolean {
            const key = `${record.kind}/${record.key}`;
            if ((records.get(key)?.stamp ?? -1) >= record.stamp) {
                return false;
            }
            records.set(key, record);
            for (const listener of listeners.get(record.kind) ?? []) {
                listener(record);
            }
            for (const other of isConnected ? members : []) {
                if (other !== member) {
                    setImmediate(() => other.publish(record));
                }
            }
            return true;
        }

        const member: DisseminationService = {
            publish,
            get: (kind, key) => records.get(`${kind}/${key}`),
            list: kind => [...records.values()].filter(record => record.kind === kind),
            onRecord: (kind, listener) => {
                const listenersOfKind = listeners.get(kind) ?? new Set();
                listeners.set(kind, listenersOfKind.add(listener));
                return () => listenersOfKind.delete(listener);
            },
            start: async () => {},
            stop: async () => {},
        };
        members.add(member);
        return member;
    }

    return {
        join,
        setConnected: connected => {
            isConnected = connected;
        },
    };
}
