/** Settings of the daemon, from flags and environment variables. */
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
  /** Where HTTP is served. */
  listen: address,
  /** Where gRPC is served. */
  control: address,
  /** Base URL of the platform's log. */
  log: url,
  /** Base URL of the platform's instance list. */
  instances: url,
  logLevel: z.enum(['info', 'warn', 'error', 'silent'], 'must be info, warn, error or silent').default('info'),
  /** File descriptor-free trace output: spans go to the log when on. */
  trace: z.enum(['on', 'off'], 'must be on or off').default('off')
}

export const entrySettingsSchema = z.object({
  role: z.literal('entry'),
  ...common,
  /** Largest request body, bytes. */
  bodyBytes: positiveNumber.default(1 << 20),
  /** How long callers may keep an answer of `locate`, milliseconds. */
  locateMilliseconds: positiveNumber.default(2000),
  /** Deadline of a request that states none, milliseconds. */
  requestMilliseconds: positiveNumber.default(30000),
  /** Silence of an upstream after which the entry asks its agent about the request, milliseconds. */
  questionMilliseconds: positiveNumber.default(700),
  /** Silence within an answer after which its connection is given up, milliseconds. */
  progressMilliseconds: positiveNumber.default(2000),
  /** Entries that watch each upstream, counted within its data centre and once more among all. */
  upstreamWatchers: positiveNumber.default(16)
}).readonly()

export const agentSettingsSchema = z.object({
  role: z.literal('agent'),
  ...common,
  /** Service that the upstream belongs to. */
  service: name,
  /** Base URL of the upstream. */
  upstream: url,
  /** Base URL of the origin of weights; unused for a plain service. */
  origin: url.optional(),
  /** Base URL of the weight store; unused for a plain service. */
  store: url.optional(),
  /** Silence within an engine's answer after which its connection is given up, milliseconds. */
  progressMilliseconds: z.coerce.number().int().positive().default(1500),
  /** Least time between two reports of load alone to a watcher, milliseconds. */
  loadMilliseconds: positiveNumber.default(200),
  /** Bytes a second that the instance's link carries for weights, each way; 0 for no limit. */
  linkBytes: z.coerce.number('must be a whole number').int('must be a whole number').nonnegative('must not be below 0').default(0)
}).readonly()

export const daemonSettingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, agentSettingsSchema], 'must be entry or agent')

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>

/** Whether a text is `ip:port`. */
function isAddress (text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) && Number(port) <= largestPort
}

function isUrl (text: string): boolean {
  return text.startsWith('http://') && isAddress(text.slice('http://'.length))
}
