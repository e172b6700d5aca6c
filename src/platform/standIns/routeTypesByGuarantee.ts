import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";

/** Value of `routeType` for each read guarantee. */
export const routeTypesByGuarantee: Readonly<Record<ReadGuarantee, string>> = {
    [ReadGuarantee.Primary]: "primary",
    [ReadGuarantee.BoundedStaleness]: "bounded_staleness",
    [ReadGuarantee.ReadYourWrites]: "read_your_writes",
};
