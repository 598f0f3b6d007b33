/**
 * Connections to other systems that are closed when their bytes have no end.
 */
import type { buildConnector } from "undici";
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
