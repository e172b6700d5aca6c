/** An order to promote, as it arrived. */
export interface PromotionOrder {
    readonly endpointId: string;
    readonly holderName: string;
    readonly token: number;
}
