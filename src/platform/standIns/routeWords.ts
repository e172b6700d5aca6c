import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";

/** The platform's word for each guarantee. */
export const routeWords: Readonly<Record<ReadGuarantee, string>> = {
    [ReadGuarantee.Primary]: "primary",
    [ReadGuarantee.BoundedStaleness]: "bounded_staleness",
    [ReadGuarantee.ReadYourWrites]: "read_your_writes",
};
