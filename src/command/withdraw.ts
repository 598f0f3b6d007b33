/** `rattanlock withdraw VERSION` */
import { Args } from "@oclif/core";
import { OperatorCommand, publishFlags } from "./operatorCommand.js";
import { createStatusChange } from "./versionChange.js";

/** Sets a version's status to `withdrawn`. */
export class WithdrawCommand extends OperatorCommand {
    static override summary = "Withdraws a version immediately: it gets no new work.";
    static override examples = [
        "<%= config.bin %> withdraw plan-large@3 --site site.ini --reason \"bad wear tags\"",
    ];
    static override args = { version: Args.string({ required: true, description: "MODEL@VERSION." }) };
    static override flags = publishFlags;

    async run(): Promise<object> {
        const { args, flags } = await this.parse(WithdrawCommand);
        return this.withSession(flags, async session => {
            const basedOn = session.reader.getOffset();
            const change = createStatusChange(session.reader.getConfiguration(), args.version, "withdrawn");
            if (change.isErr()) {
                return this.failWith(change.error);
            }
            const result = await this.publishChanges(session, [change.value], basedOn, flags);
            return { offset: result.offset, version: args.version, status: "withdrawn" };
        });
    }
}
