/**
 * The program behind `scripts/demo`.
 */
import { parseArgs } from "node:util";
import { getApiKey, ProcessGroup, Site } from "../testbench/index.js";
import { Demo } from "./demo.js";
import { demoPlans } from "./demoPlan.js";

const usage = "Usage: scripts/demo [--site metro-manila|catania] [--keep]";
const exitCodes = { failed: 1, badInput: 2, interrupted: 130 } as const;

async function main(): Promise<number> {
    const { values } = parseArgs({
        options: { site: { type: "string", default: "metro-manila" }, keep: { type: "boolean", default: false } },
    });
    const plan = demoPlans[values.site];
    if (plan === undefined) {
        console.error(`There is no site ${values.site}.\n${usage}`);
        return exitCodes.badInput;
    }
    const group = new ProcessGroup();
    const interrupt = () => void group.killAll().then(() => process.exit(exitCodes.interrupted));
    process.once("SIGINT", interrupt);
    process.once("SIGTERM", interrupt);
    try {
        console.log(
            `Starting ${plan.site.name}: ${plan.site.entryCount} entries, ${plan.site.runners.count} runners ...`,
        );
        const site = await Site.start(group, plan.site);
        const summary = await new Demo(site, plan, console.log).run();
        console.log(summary.join("\n"));
        if (values.keep) {
            await keepRunning(site, plan.work[0].workspace);
        }
        return await stopEntries(site);
    }
    finally {
        await group.killAll();
    }
}

/** Stops the entries as an operator would, and reports how many exited with a non-zero code. */
async function stopEntries(site: Site): Promise<number> {
    const codes = await Promise.all(site.getEntries().map(entry => entry.process.stop()));
    const failed = codes.filter(code => code !== 0).length;
    console.log(
        failed === 0 ? "\nAll entries shut down gracefully." : `\n${failed} entries did not shut down gracefully.`,
    );
    return failed === 0 ? 0 : exitCodes.failed;
}

async function keepRunning(site: Site, workspace: string): Promise<void> {
    const [entry] = site.getEntries();
    const log = `http://${site.getPlatformAddress("log")}`;
    const vmList = `http://${site.getPlatformAddress("vm-list")}`;
    console.log([
        "",
        "The site keeps running until you press Ctrl-C. Try:",
        `  curl -s http://${entry.callerAddress}/v1/addresses`,
        `  curl -sN http://${entry.callerAddress}/v1/chat/completions -H "Authorization: Bearer ${
            getApiKey(workspace)
        }" \\`,
        "      -d '{\"model\": \"auto\", \"stream\": true, \"messages\": [{\"role\": \"user\", \"content\": \"Hello\"}]}'",
        `  curl -s http://${entry.operatorAddress}/status`,
        `  npx rattanlock status --log ${log} --vm-list ${vmList}`,
    ].join("\n"));
    await new Promise<void>(resolve => {
        process.removeAllListeners("SIGINT");
        process.once("SIGINT", () => resolve());
    });
}

try {
    process.exitCode = await main();
}
catch (error) {
    console.error(`The demo failed: ${error instanceof Error ? error.message : String(error)}`);
    process.exitCode = exitCodes.failed;
}
