/** Constants of the program on a VM. */
export const vmConstants = {
    /** Least number of VMs assumed to share an endpoint's connections; applies while fewer are known. */
    minimumAssumedVms: 8,
    /** Time after its start in which a VM has exchanged routes with any other VM that answers, in milliseconds. */
    routeExchangeMilliseconds: 1_500,
    /** Share of the grace time after which the process exits, although services have not stopped. */
    stopGraceShare: 0.95,
} as const;
