/** Constants of the choice of owners. */
export const ownershipConstants = {
    /** Number of gateways listed for one endpoint: its owner and the standbys. */
    ownersPerEndpoint: 8,
} as const;
