import { ReadGuarantee } from "../directory/types/ReadGuarantee.js";

/** The databases of a soak test, one for each read guarantee; all are routed to the same endpoints. */
export const soakDatabases = [
    { name: "counter", guarantee: ReadGuarantee.Primary },
    { name: "browse", guarantee: ReadGuarantee.BoundedStaleness },
    { name: "shop", guarantee: ReadGuarantee.ReadYourWrites },
] as const;
