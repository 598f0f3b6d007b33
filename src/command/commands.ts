/** Every command by its name, for oclif's explicit discovery. */
import { CheckCommand } from "./check.js";
import { DiffCommand } from "./diff.js";
import { DrainCommand } from "./drain.js";
import { HistoryCommand } from "./history.js";
import { KeyCommand } from "./key.js";
import { PublishCommand } from "./publish.js";
import { ShowCommand } from "./show.js";
import { StatusCommand } from "./status.js";
import { WithdrawCommand } from "./withdraw.js";

/** The commands. */
export const commands = {
    check: CheckCommand,
    diff: DiffCommand,
    drain: DrainCommand,
    history: HistoryCommand,
    key: KeyCommand,
    publish: PublishCommand,
    show: ShowCommand,
    status: StatusCommand,
    withdraw: WithdrawCommand,
};
