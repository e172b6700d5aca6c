import { After, setDefaultTimeout } from "@cucumber/cucumber";
import { featureConstants } from "./featureConstants.js";
import type { Scene } from "./Scene.js";

setDefaultTimeout(featureConstants.stepTimeoutMilliseconds);

After(async function(this: Scene) {
    await this.load?.end().catch(() => {});
    await this.site?.stop();
});
