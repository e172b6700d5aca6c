/** What happens to a call in a simulation. */
export interface CallFault {
    /** The call does not arrive. */
    readonly isRequestLost?: boolean;
    /** The call is executed, and its answer does not arrive. */
    readonly isAnswerLost?: boolean;
    /** Additional time before the call arrives, in milliseconds. */
    readonly requestDelayMilliseconds?: number;
    /** Additional time before the answer arrives, in milliseconds. */
    readonly answerDelayMilliseconds?: number;
}
