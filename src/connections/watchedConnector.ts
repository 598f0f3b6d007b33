/**
 * Connections to other systems that are closed when their bytes have no end.
 */
import { type Agent, buildConnector } from "undici";
import { createAnswerAgent, halfOpen } from "./answerEnd.js";
import { AnswerProgress, type EndlessBytesListener } from "./answerProgress.js";

/**
 * Returns a connector of the HTTP library whose connections are watched.
 * @param connect - Opens the connections.
 * @param onEndless - Called when one was closed since its bytes had no end. The call that it carried fails as well.
 */
export function watchConnections(
    connect: buildConnector.connector,
    onEndless: EndlessBytesListener = () => {},
): buildConnector.connector {
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            if (socket) {
                AnswerProgress.watch(socket, onEndless);
            }
            callback(...result);
        });
    };
}

/**
 * Creates an agent whose connections are watched, and whose answers fail where theirs was reset.
 * @param timeoutMilliseconds - Timeout for opening a connection.
 */
export function createWatchedAgent(timeoutMilliseconds: number): Agent {
    return createAnswerAgent({
        connect: watchConnections(buildConnector({ ...halfOpen, timeout: timeoutMilliseconds })),
    });
}
