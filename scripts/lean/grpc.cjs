// Loads gRPC when the first client or server is created. gRPC and HTTP/2 are a third of the code that a node loads, and a
// starting node serves callers before it connects to peers.
const load = () => require("@grpc/grpc-js");

/** Creates a stand-in for a client's constructor, which loads gRPC when the first client is created. */
exports.makeGenericClientConstructor = (...definition) => {
    let Client;
    return function createClient(...options) {
        Client ??= load().makeGenericClientConstructor(...definition);
        return new Client(...options);
    };
};

for (const name of ["credentials", "experimental", "Metadata", "Server", "ServerCredentials", "status"]) {
    Object.defineProperty(exports, name, { enumerable: true, get: () => load()[name] });
}
