/** Lists the commands by name, for oclif's explicit discovery strategy. */
import { CheckCommand } from "./check.js";
import { DiffCommand } from "./diff.js";
import { DrainCommand } from "./drain.js";
import { ExplainCommand } from "./explain.js";
import { HaltCommand } from "./halt.js";
import { HistoryCommand } from "./history.js";
import { KeyCommand } from "./key.js";
import { LiftCommand } from "./lift.js";
import { PublishCommand } from "./publish.js";
import { RolloutAbortCommand } from "./rolloutAbort.js";
import { RolloutStartCommand } from "./rolloutStart.js";
import { RolloutStatusCommand } from "./rolloutStatus.js";
import { ShowCommand } from "./show.js";
import { StatusCommand } from "./status.js";
import { TimelineCommand } from "./timeline.js";
import { UpstreamsCommand } from "./upstreams.js";
import { WithdrawCommand } from "./withdraw.js";

/** The commands by name. */
export const commands = {
    "check": CheckCommand,
    "diff": DiffCommand,
    "drain": DrainCommand,
    "explain": ExplainCommand,
    "halt": HaltCommand,
    "history": HistoryCommand,
    "key": KeyCommand,
    "lift": LiftCommand,
    "publish": PublishCommand,
    "rollout:abort": RolloutAbortCommand,
    "rollout:start": RolloutStartCommand,
    "rollout:status": RolloutStatusCommand,
    "show": ShowCommand,
    "status": StatusCommand,
    "timeline": TimelineCommand,
    "upstreams": UpstreamsCommand,
    "withdraw": WithdrawCommand,
};
