/** gRPC between the processes of the system: server and client of the service in `proto/pollendyke.proto`. */
import * as grpc from '@grpc/grpc-js'
import { loadSync } from '@grpc/proto-loader'
import { fileURLToPath } from 'node:url'
import { decodeStatus, encodeStatus, type StatusMessage } from './status-codec.js'
import type { AgentStatus, NodeDescription } from '../types/messages.js'
import type { StoredRecord } from '../types/platform.js'

/** A message of a follower: the first one of a stream holds the offset to start from, the later ones are heartbeats with the number `beat`. */
export interface FollowRequest { readonly instance: string, readonly next: number, readonly beat: number }

/** A message to a follower: records or a heartbeat. */
export interface FollowEvent {
  readonly records: readonly StoredRecord[]
  /** Offset after the sender's last record. */
  readonly next: number
  /** State before the records; empty if the follower needs only the records. */
  readonly snapshot: string
  /** Number of the last heartbeat that the sender received from the follower. */
  readonly beat: number
  /** Time until the sender's confirmation of its configuration expires; 0 for none. */
  readonly confirmedMilliseconds: number
  /** Time until the sender's knowledge of an outage of the log expires; 0 for none. */
  readonly outageMilliseconds: number
  /** Short digest of the state at `next`; empty in a heartbeat. */
  readonly digest: string
}

/** The stream of one follower, at the node that serves it. */
export interface FollowSession {
  /** Handles a later message of the follower. */
  receiveHeartbeat (request: FollowRequest): void
  end (): void
}

/** The stream to a followed node, at the follower. */
export interface FollowStream {
  /** Sends a heartbeat; the answers repeat its number. */
  sendHeartbeat (beat: number): void
  cancel (): void
}

/** Request of an entry to watch an agent; `instance` is the entry's. */
export interface WatchRequest { readonly instance: string }

/**
 * Query for the outcome of a request, by request id or, if `key` is not empty, by the digest of a claimed key. Only the
 * agent's same `incarnation` can answer `not-run` for a request that it does not know.
 */
export interface OutcomeRequest { readonly requestId: string, readonly key: string, readonly incarnation: string }

/** Outcome of a request; `unknown` if the agent does not know the outcome. */
export interface OutcomeReply {
  readonly outcome: 'not-run' | 'running' | 'run' | 'unknown'
  /** HTTP status of the answer; 0 unless the answer is retained. */
  readonly status: number
  readonly answer: Buffer
  readonly incarnation: string
}

/** Service that a node offers over gRPC. Agents override `watch` and `outcome`. */
export abstract class ControlService {
  abstract describe (): NodeDescription
  /** Starts to stream records from `request.next` on. */
  abstract follow (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession

  /** Starts to stream the agent's status; the returned function stops it. Undefined if the node is not an agent. */
  watch (_request: WatchRequest, _send: (status: AgentStatus) => void): (() => void) | undefined {
    return undefined
  }

  outcome (_request: OutcomeRequest): OutcomeReply | Promise<OutcomeReply> {
    return { outcome: 'unknown', status: 0, answer: Buffer.alloc(0), incarnation: '' }
  }
}

const protoPath = fileURLToPath(new URL('../../../proto/pollendyke.proto', import.meta.url))
const loaded = grpc.loadPackageDefinition(
  loadSync(protoPath, { longs: Number, enums: String, defaults: true, arrays: true })
) as unknown as { pollendyke: { Node: grpc.ServiceClientConstructor } }
const NodeClient = loaded.pollendyke.Node

/** Channel options: a lost connection is detected within about 3.5 s, and reconnection attempts are at most 1 s apart. */
const keepalive = {
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 1500,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.http2.min_time_between_pings_ms': 1000,
  'grpc.http2.max_pings_without_data': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.enable_http_proxy': 0
}

/** A running gRPC server. */
export interface ControlServer {
  readonly port: number
  /** Ends all streams and stops the server. */
  close (): void
}

/** Serves `service` at `address` (`ip:port`); rejects if the address cannot be bound. */
export async function serveControl (address: string, service: ControlService): Promise<ControlServer> {
  const server = new grpc.Server(keepalive)
  server.addService(NodeClient.service, {
    Describe: (_call: grpc.ServerUnaryCall<unknown, NodeDescription>, answer: grpc.sendUnaryData<NodeDescription>) => {
      answer(null, service.describe())
    },
    Outcome: (call: grpc.ServerUnaryCall<OutcomeRequest, OutcomeReply>, answer: grpc.sendUnaryData<OutcomeReply>) => {
      Promise.resolve(service.outcome(call.request)).then(reply => { answer(null, reply) }, (error: unknown) => {
        answer({ code: grpc.status.INTERNAL, details: String(error) })
      })
    },
    Follow: (call: grpc.ServerDuplexStream<FollowRequest, FollowEvent>) => {
      serveFollow(call, service)
    },
    Watch: (call: grpc.ServerWritableStream<WatchRequest, StatusMessage>) => {
      let last: AgentStatus | undefined
      const end = service.watch(call.request, status => {
        call.write(encodeStatus(last, status))
        last = status
      })
      if (end === undefined) {
        call.emit('error', { code: grpc.status.UNIMPLEMENTED, details: 'this node is not an agent' })
        return
      }
      stream(call, end)
    }
  })
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound)
      else reject(error)
    })
  })
  return { port, close: () => { server.forceShutdown() } }
}

function serveFollow (call: grpc.ServerDuplexStream<FollowRequest, FollowEvent>, service: ControlService): void {
  let served: FollowSession | undefined
  call.on('data', (request: FollowRequest) => {
    if (served === undefined) served = service.follow(request, event => { call.write(event) })
    else served.receiveHeartbeat(request)
  })
  const end = (): void => { served?.end() }
  call.on('cancelled', end)
  call.on('close', end)
  call.on('error', end)
  call.on('end', () => {
    end()
    call.end()
  })
}

/** Calls `end` when the client cancels the stream or its connection closes; it may be called several times. */
function stream<Request, Response> (call: grpc.ServerWritableStream<Request, Response>, end: () => void): void {
  call.on('cancelled', end)
  call.on('close', end)
  call.on('error', end)
}

/** Client of the gRPC address of one node. */
export class ControlClient {
  private readonly client: grpc.Client

  /** `address` is `ip:port`. With `own`, the client does not share its connection with other clients of the address. */
  constructor (readonly address: string, connection: 'shared' | 'own' = 'shared') {
    const options = connection === 'own' ? { ...keepalive, 'grpc.use_local_subchannel_pool': 1 } : keepalive
    this.client = new NodeClient(address, grpc.credentials.createInsecure(), options)
  }

  /** Queries the node's description; `deadline` in epoch milliseconds. */
  describe (deadline: number): Promise<NodeDescription> {
    return this.unary('Describe', {}, deadline)
  }

  /** Queries the outcome of a request; `deadline` in epoch milliseconds. */
  outcome (request: OutcomeRequest, deadline: number): Promise<OutcomeReply> {
    return this.unary('Outcome', request, deadline)
  }

  /** Calls `receive` for each event, and `ended` once if the stream ends without being cancelled. */
  follow (request: FollowRequest, receive: (event: FollowEvent) => void, ended: (reason: string) => void): FollowStream {
    const definition = definitionOf('Follow')
    const call = this.client.makeBidiStreamRequest(definition.path, definition.requestSerialize, definition.responseDeserialize)
    const cancel = listen(call, receive, ended)
    call.write(request)
    return { sendHeartbeat: beat => { call.write({ instance: '', next: 0, beat }) }, cancel }
  }

  /** Calls `receive` for each status, and `ended` once if the stream ends without being cancelled; the returned function cancels it. */
  watch (request: WatchRequest, receive: (status: AgentStatus) => void, ended: (reason: string) => void): () => void {
    let last: AgentStatus | undefined
    return this.streaming('Watch', request, (message: StatusMessage) => {
      last = decodeStatus(last, message)
      if (last !== undefined) receive(last)
    }, ended)
  }

  close (): void {
    this.client.close()
  }

  private unary<Response> (method: string, request: unknown, deadline: number): Promise<Response> {
    const definition = definitionOf(method)
    return new Promise((resolve, reject) => {
      this.client.makeUnaryRequest(definition.path, definition.requestSerialize, definition.responseDeserialize, request, { deadline }, (error, response) => {
        if (error === null && response !== undefined) resolve(response as Response)
        else reject(error ?? new Error('the reply is empty'))
      })
    })
  }

  private streaming<Message> (method: string, request: unknown, receive: (message: Message) => void, ended: (reason: string) => void): () => void {
    const definition = definitionOf(method)
    const call = this.client.makeServerStreamRequest(definition.path, definition.requestSerialize, definition.responseDeserialize, request)
    return listen(call, receive, ended)
  }
}

function definitionOf (method: string): grpc.MethodDefinition<unknown, unknown> {
  const definition = NodeClient.service[method]
  if (definition === undefined) throw new Error(`the proto has no method ${method}`)
  return definition
}

/** Calls `receive` until the stream ends or is cancelled; the returned function cancels it. */
function listen<Message> (call: grpc.ClientReadableStream<unknown> | grpc.ClientDuplexStream<unknown, unknown>, receive: (message: Message) => void, ended: (reason: string) => void): () => void {
  let open = true
  const finish = (reason: string): void => {
    if (!open) return
    open = false
    ended(reason)
  }
  call.on('data', (message: unknown) => { if (open) receive(message as Message) })
  call.on('error', (error: Error) => { finish(error.message) })
  call.on('end', () => { finish('the stream ended') })
  return () => {
    open = false
    call.cancel()
  }
}
