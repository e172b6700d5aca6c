import { After, setDefaultTimeout } from "@cucumber/cucumber";
import { featureConstants } from "./featureConstants.js";
import type { ScenarioWorld } from "./ScenarioWorld.js";

setDefaultTimeout(featureConstants.stepTimeoutMilliseconds);

After(async function(this: ScenarioWorld) {
    await this.load?.end().catch(() => {});
    await this.site?.stop();
});
