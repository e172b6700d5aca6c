import { ReadGuarantee } from "../directory/types/ReadGuarantee.js";

/** The databases of a soak, one for each guarantee; all lead to the same endpoints. */
export const soakDatabases = [
    { name: "counter", guarantee: ReadGuarantee.Primary },
    { name: "browse", guarantee: ReadGuarantee.BoundedStaleness },
    { name: "shop", guarantee: ReadGuarantee.ReadYourWrites },
] as const;
