/** `rattanlock halt VERSION` */
import { Args, Flags } from "@oclif/core";
import { rolloutRecordKinds } from "../control/index.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Halts a version on every entry, whether it is a candidate in a roll-out or a stable version. */
export class HaltCommand extends OperatorCommand {
    static override summary = "Halts a version: it gets no new work until `rattanlock lift`.";
    static override examples = ["<%= config.bin %> halt plan-large@4 --site site.ini --reason \"wrong wear tags\""];
    static override args = { version: Args.string({ required: true, description: "MODEL@VERSION." }) };
    static override flags = {
        reason: Flags.string({ char: "r", description: "Reason, for the record of the halt.", required: true }),
    };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(HaltCommand);
        return this.withControl(flags, async session => {
            const body = { version: args.version, reason: `${flags.author}: ${flags.reason}` };
            const appended = await session.append(rolloutRecordKinds.halt, body);
            if (appended.isErr()) {
                return this.failWith(appended.error);
            }
            this.log(`${args.version} is halted at offset ${appended.value}.`);
            return { offset: appended.value, version: args.version };
        });
    }
}
