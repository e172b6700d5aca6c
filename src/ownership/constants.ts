/** Constants of the choice of owners. */
export const ownershipConstants = {
    /** Gateways named for one endpoint: its owner and those standing by. */
    ownersPerEndpoint: 8,
} as const;
