/** `rattanlock rollout abort ROLLOUT` */
import { Args } from "@oclif/core";
import { rolloutRecordKinds } from "../control/index.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Aborts a roll-out without halting its candidate. */
export class RolloutAbortCommand extends OperatorCommand {
    static override summary = "Aborts a roll-out; new work goes to the stable version again.";
    static override examples = ["<%= config.bin %> rollout abort plan-4-second-try --site site.ini"];
    static override args = { rollout: Args.string({ required: true, description: "Name of the roll-out." }) };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(RolloutAbortCommand);
        return this.withControl(flags, async session => {
            if (session.rollouts.getRollout(args.rollout)?.state !== "active") {
                return this.failRefused(`No roll-out ${args.rollout} is active. See \`rattanlock rollout status\`.`);
            }
            const body = { rollout: args.rollout, by: flags.author };
            const appended = await session.append(rolloutRecordKinds.abort, body);
            if (appended.isErr()) {
                return this.failWith(appended.error);
            }
            this.log(`The roll-out ${args.rollout} is aborted.`);
            return { offset: appended.value, rollout: args.rollout };
        });
    }
}
