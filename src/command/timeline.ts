/** `rattanlock timeline` */
import { Args, Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import type { EventLine } from "../events/index.js";
import { createTimeLinePage, formatTimeLine, mergeEvents } from "../timeline/index.js";
import { fetchFromNodes } from "./nodeStatus.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Shows the events of all entries about one request or roll-out, in causal order. */
export class TimelineCommand extends OperatorCommand {
    static override summary = "Shows the events of all entries about a request or a roll-out, in causal order.";
    static override examples = [
        "<%= config.bin %> timeline 754d8130-d538-4752-bd05-ed8919df1fcb --site site.ini",
        "<%= config.bin %> timeline plan-4-second-try --rollout --html rollout.html --site site.ini",
    ];
    static override args = {
        name: Args.string({ required: true, description: "A request's X-Request-Id, or a roll-out's name." }),
    };
    static override flags = {
        rollout: Flags.boolean({ description: "The name is that of a roll-out." }),
        html: Flags.string({ description: "Write an HTML page to this file instead of printing text." }),
    };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(TimelineCommand);
        const nodes = await this.fetchStatuses(flags);
        const subject = flags.rollout ? "rollout" : "request";
        const responses = await fetchFromNodes(nodes, `/events?${subject}=${encodeURIComponent(args.name)}`);
        const merged = mergeEvents([...responses.values()].flat() as EventLine[]);
        if (merged.length === 0) {
            return this.failRefused(
                `No entry has events of the ${subject} ${args.name}. Only recent events are retained.`,
            );
        }
        if (flags.html === undefined) {
            this.log(formatTimeLine(merged));
        }
        else {
            writeFileSync(flags.html, createTimeLinePage(`${subject} ${args.name}`, merged));
            this.log(`${merged.length} events written to ${flags.html}.`);
        }
        return { events: merged.map(({ line }) => line) };
    }
}
