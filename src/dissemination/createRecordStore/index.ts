import { hashText } from "../../hashing/hashText/index.js";
import { bucketOf } from "../bucketOf/index.js";
import { disseminationConstants } from "../constants.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";
import { RecordKind } from "../types/RecordKind.js";
import type { RecordStore } from "../types/RecordStore.js";

/** The records of one kind and their digests. */
interface KindState {
    readonly records: Map<string, DisseminatedRecord>;
    readonly bucketKeys: readonly Set<string>[];
    readonly bucketHashes: Uint32Array;
    hash: number;
}

function createKindState(): KindState {
    return {
        records: new Map(),
        bucketKeys: Array.from({ length: disseminationConstants.bucketCount }, () => new Set<string>()),
        bucketHashes: new Uint32Array(disseminationConstants.bucketCount),
        hash: 0,
    };
}

function hashRecord(record: DisseminatedRecord): number {
    return hashText(`${record.key}\n${record.stamp}`);
}

/**
 * Creates the in-memory store of the disseminated records of a process.
 *
 * The hash of a bucket is the exclusive or of the hashes of its records, so that the cost of a change does not depend
 * on the number of records.
 *
 * @returns The empty store.
 *
 * @example
 * const isNew = createRecordStore().applyRecord({ kind: RecordKind.Group, key: "stock", stamp: 4, value: group });
 */
export function createRecordStore(): RecordStore {
    const states = new Map(Object.values(RecordKind).map(kind => [kind, createKindState()]));
    const stateOf = (kind: RecordKind): KindState => states.get(kind) as KindState;

    function applyRecord(record: DisseminatedRecord): boolean {
        const state = stateOf(record.kind);
        const known = state.records.get(record.key);
        if (known !== undefined && known.stamp >= record.stamp) {
            return false;
        }
        const bucket = bucketOf(record.key);
        const change = (hashRecord(record) ^ (known === undefined ? 0 : hashRecord(known))) >>> 0;
        state.records.set(record.key, record);
        state.bucketKeys[bucket]?.add(record.key);
        state.bucketHashes[bucket] = ((state.bucketHashes[bucket] ?? 0) ^ change) >>> 0;
        state.hash = (state.hash ^ change) >>> 0;
        return true;
    }

    function digests(): ReturnType<RecordStore["digests"]> {
        return [...states].map(([kind, state]) => ({ kind, count: state.records.size, hash: state.hash }));
    }

    function compare(remote: Parameters<RecordStore["compare"]>[0]): ReturnType<RecordStore["compare"]> {
        const remoteByKind = new Map(remote.map(digest => [digest.kind, digest]));
        return digests()
            .filter(own => {
                const other = remoteByKind.get(own.kind) ?? { count: 0, hash: 0 };
                return own.count !== other.count || own.hash !== other.hash;
            })
            .map(({ kind }) => ({ kind, hashes: [...stateOf(kind).bucketHashes] }));
    }

    function* listRecordsIn(kind: RecordKind, buckets: readonly number[]): Generator<DisseminatedRecord> {
        const state = stateOf(kind);
        for (const bucket of buckets) {
            for (const key of state.bucketKeys[bucket] ?? []) {
                yield state.records.get(key) as DisseminatedRecord;
            }
        }
    }

    function createPullRequest(
        remote: Parameters<RecordStore["createPullRequest"]>[0],
    ): ReturnType<RecordStore["createPullRequest"]> {
        const { kind } = remote;
        const own = stateOf(kind).bucketHashes;
        const buckets = [...own.keys()].filter(bucket => own[bucket] !== remote.hashes[bucket]);
        const known = [...listRecordsIn(kind, buckets)].map(({ key, stamp }) => ({ key, stamp }));
        return { kind, buckets, known };
    }

    function answerPull(request: Parameters<RecordStore["answerPull"]>[0]): ReturnType<RecordStore["answerPull"]> {
        const stamps = new Map(request.known.map(({ key, stamp }) => [key, stamp]));
        const records = [...listRecordsIn(request.kind, request.buckets)]
            .filter(record => record.stamp > (stamps.get(record.key) ?? -1))
            .slice(0, disseminationConstants.maximumRecordsPerPull);
        const { records: ownRecords } = stateOf(request.kind);
        const wantedKeys = request.known
            .filter(({ key, stamp }) => stamp > (ownRecords.get(key)?.stamp ?? -1))
            .map(({ key }) => key)
            .slice(0, disseminationConstants.maximumRecordsPerPull);
        return { records, wantedKeys };
    }

    return {
        applyRecord,
        get: (kind, key) => stateOf(kind).records.get(key),
        list: kind => [...stateOf(kind).records.values()],
        digests,
        compare,
        createPullRequest,
        answerPull,
    };
}
