/** Rules by which a VM without a lease learns of each change of primary; a search may leave one out. */
export interface KnowledgeRules {
    /** The VM asks the endpoint on whose answer it relies whether it is the primary. */
    readonly asksEndpointItself: boolean;
    /** An endpoint that the VM may not know is promoted only after the former primary has stepped down. */
    readonly promotesKnownEndpoints: boolean;
    /** That the former primary has stepped down counts only if its log shows the term in which it led. */
    readonly needsTermInLog: boolean;
    /** The VM relies on no primary once it was without contact to a holder for long. */
    readonly stopsWithoutContact: boolean;
    /** The holder takes a VM into account as long as that may rely on a primary. */
    readonly remembersSilentVms: boolean;
    /** A new holder counts no endpoint as known by all VMs that its predecessor did not, before it can know all VMs. */
    readonly waitsAsNewHolder: boolean;
    /** The VM relies on no primary of a group from whose endpoints it has lost one. */
    readonly countsLostEndpoints: boolean;
}
