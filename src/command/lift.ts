/** `rattanlock lift VERSION` */
import { Args } from "@oclif/core";
import { rolloutRecordKinds } from "../control/index.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Lifts the current halts of a version; later halts stay in force. */
export class LiftCommand extends OperatorCommand {
    static override summary = "Lifts the halts of a version, so that it can get work again.";
    static override examples = ["<%= config.bin %> lift plan-large@4 --site site.ini"];
    static override args = { version: Args.string({ required: true, description: "MODEL@VERSION." }) };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(LiftCommand);
        return this.withControl(flags, async session => {
            const activeHalts = session.rollouts.getHalts().filter(halt => halt.version === args.version);
            if (activeHalts.length === 0) {
                return this.failRefused(`${args.version} is not halted. See \`rattanlock rollout status\`.`);
            }
            for (const halt of activeHalts) {
                this.log(`Lifting the halt of ${new Date(halt.at).toISOString()}: ${halt.reason}`);
            }
            const body = { version: args.version, halts: activeHalts.map(halt => halt.id), by: flags.author };
            const appended = await session.append(rolloutRecordKinds.lift, body);
            if (appended.isErr()) {
                return this.failWith(appended.error);
            }
            return { offset: appended.value, version: args.version, lifted: body.halts };
        });
    }
}
