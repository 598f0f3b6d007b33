/**
 * Opens encrypted connections to upstreams with the site's certificate.
 */
import { buildConnector, type Dispatcher } from "undici";
import type { Credentials } from "../common/index.js";
import { createAnswerAgent, halfOpen, watchConnections } from "../connections/index.js";

/** Connects to upstreams with credentials that can be renewed. */
export class UpstreamConnector {
    readonly #timeoutMilliseconds: number;
    #connect: buildConnector.connector;

    /**
     * @param credentials - The certificate to present and the authority to trust.
     * @param timeoutMilliseconds - Timeout for opening a connection.
     */
    constructor(credentials: Credentials, timeoutMilliseconds: number) {
        this.#timeoutMilliseconds = timeoutMilliseconds;
        this.#connect = this.#createConnector(credentials);
    }

    /**
     * Replaces the credentials. New connections use them; open connections keep the old ones.
     * @param credentials - The renewed credentials.
     */
    setCredentials(credentials: Credentials): void {
        this.#connect = this.#createConnector(credentials);
    }

    /** Creates the dispatcher for all calls to upstreams. It never opens an unencrypted connection. */
    createDispatcher(): Dispatcher {
        const agent = createAnswerAgent({ connect: (options, callback) => this.#connect(options, callback) });
        return agent.compose(dispatch => (options, handler) => dispatch(toHttps(options), handler));
    }

    #createConnector({ certificate, key, authority, serverName }: Credentials): buildConnector.connector {
        const connect = buildConnector({
            ...halfOpen,
            cert: certificate,
            key,
            ca: authority,
            timeout: this.#timeoutMilliseconds,
            ...serverName === undefined ? {} : { servername: serverName },
        });
        return watchConnections(connect);
    }
}

/**
 * Changes the scheme to HTTPS. Clients build URLs from addresses only; whether connections are encrypted is a setting of the
 * site.
 */
function toHttps(options: Dispatcher.DispatchOptions): Dispatcher.DispatchOptions {
    return { ...options, origin: String(options.origin).replace(/^http:/, "https:") };
}
