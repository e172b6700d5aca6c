import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { directoryConstants } from "../constants.js";
import { createStoreNews } from "./index.js";

const { newsMilliseconds, greatestNewsMilliseconds } = directoryConstants;

describe("createStoreNews", () => {
    it("is as old as the feed that was answered longest ago", async () => {
        const clock = createManualClock();
        const news = createStoreNews(clock);
        assert.equal(news.isFresh(), false);
        assert.equal(news.ageMilliseconds(), greatestNewsMilliseconds);
        news.noteAnswer("endpoints");
        await clock.advance(100);
        news.noteAnswer("routing tables");
        await clock.advance(50);
        assert.equal(news.ageMilliseconds(), 150);
        assert.equal(news.isFresh(), true);
    });

    it("takes over what another VM told, counted from before it was asked", async () => {
        const clock = createManualClock();
        const news = createStoreNews(clock);
        const askedAt = clock.now();
        await clock.advance(40);
        news.learn(300, askedAt);
        assert.equal(news.ageMilliseconds(), 340);
        news.learn(5_000, clock.now());
        assert.equal(news.ageMilliseconds(), 340);
        await clock.advance(newsMilliseconds - 340);
        assert.equal(news.isFresh(), false);
    });
});
