/** A promotion order that the platform received. */
export interface PromotionOrder {
    readonly endpointId: string;
    readonly holderName: string;
    readonly fencingToken: number;
}
