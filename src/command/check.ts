/** `rattanlock check FILE` */
import { Args } from "@oclif/core";
import { OperatorCommand } from "./operatorCommand.js";

/** Validates a configuration file without connecting to a site. */
export class CheckCommand extends OperatorCommand {
    static override summary = "Validates a configuration file and reports all errors.";
    static override examples = ["<%= config.bin %> check examples/catania.ini"];
    static override args = { file: Args.string({ required: true, description: "Configuration file." }) };

    async run(): Promise<object> {
        const { args } = await this.parse(CheckCommand);
        const tree = this.readTree(args.file);
        this.log(`${args.file}: ${tree.size} sections, no errors.`);
        return { file: args.file, sections: tree.size };
    }
}
