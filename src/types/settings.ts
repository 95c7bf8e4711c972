/** Schemas of the daemon's settings, which come from flags and environment variables. */
import { isIPv4 } from 'node:net'
import { z } from 'zod'

const largestPort = 65_535
const address = z.string().refine(isAddress, 'must be an IP number and a port, such as 127.0.0.1:8080')
const url = z.string().refine(isUrl, 'must be http://IP:PORT')
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')

const wholeNumber = 'must be a whole number above 0'
const positiveNumber = z.coerce.number(wholeNumber).int(wholeNumber).positive(wholeNumber)

const common = {
  instance: name,
  dataCentre: name,
  region: name,
  /** Address that serves HTTP. */
  listen: address,
  /** Address that serves gRPC to other processes of the system. */
  control: address,
  /** Base URL of the platform's log. */
  log: url,
  /** Base URL of the platform's instance list. */
  instances: url,
  logLevel: z.enum(['info', 'warn', 'error', 'silent'], 'must be info, warn, error or silent').default('info'),
  /** Whether spans are written to the process's log lines. */
  trace: z.enum(['on', 'off'], 'must be on or off').default('off')
}

/** Settings of the role `entry`. */
export const entrySettingsSchema = z.object({
  role: z.literal('entry'),
  ...common,
  /** Largest request body, bytes. */
  bodyBytes: positiveNumber.default(1 << 20),
  /** Time for which callers may cache an answer of `locate`, milliseconds. */
  locateMilliseconds: positiveNumber.default(2000),
  /** Timeout of a request without a deadline, milliseconds. */
  requestMilliseconds: positiveNumber.default(30000),
  /** Time without a response from an upstream after which the entry asks its agent about the request, milliseconds. */
  questionMilliseconds: positiveNumber.default(700),
  /** Inactivity timeout of an answer's connection, milliseconds. */
  progressMilliseconds: positiveNumber.default(2000),
  /** Number of entries that watch each upstream: this many in its data centre, and on average as many again among all entries. */
  upstreamWatchers: positiveNumber.default(16)
}).readonly()

/** Settings of the role `agent`. */
export const agentSettingsSchema = z.object({
  role: z.literal('agent'),
  ...common,
  /** Service of the upstream. */
  service: name,
  /** Base URL of the upstream. */
  upstream: url,
  /** Base URL of the origin of weights; not used for a plain service. */
  origin: url.optional(),
  /** Base URL of the weight store; not used for a plain service. */
  store: url.optional(),
  /** Inactivity timeout of the connection of an engine's answer, milliseconds. */
  progressMilliseconds: z.coerce.number().int().positive().default(1500),
  /** Minimum time between two messages to a watching entry that only update the load, milliseconds. */
  loadMilliseconds: positiveNumber.default(200),
  /** Limit of the weight traffic on the instance's link in each direction, bytes a second; 0 for no limit. */
  linkBytes: z.coerce.number('must be a whole number').int('must be a whole number').nonnegative('must not be below 0').default(0)
}).readonly()

/** Settings of the daemon, distinguished by `role`. */
export const daemonSettingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, agentSettingsSchema], 'must be entry or agent')

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>

/** Whether a text is an IPv4 address and a port, `ip:port`. */
function isAddress (text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) && Number(port) <= largestPort
}

function isUrl (text: string): boolean {
  return text.startsWith('http://') && isAddress(text.slice('http://'.length))
}
