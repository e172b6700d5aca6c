/** Rules of the delivery of announcements; a search may leave one out. */
export interface DeliveryRules {
    /** A renewal reports the announcements received with answers, not the highest one received in any way. */
    readonly reportsAnswersOnly: boolean;
    /** A relay's answer counts as complete only as far as the relay's own announcements are. */
    readonly countsRelaysOwnAnswers: boolean;
}
