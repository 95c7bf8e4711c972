/** Settings of the daemon, from flags and environment variables. */
import { z } from 'zod'

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IP number and a port, such as 127.0.0.1:8080')
const url = z.string().regex(/^http:\/\/\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be http://IP:PORT')
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')

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
  logLevel: z.enum(['info', 'warn', 'error', 'silent']).default('info'),
  /** File descriptor-free trace output: spans go to the log when on. */
  trace: z.enum(['on', 'off']).default('off')
}

export const entrySettingsSchema = z.object({
  role: z.literal('entry'),
  ...common,
  /** Largest request body, bytes. */
  bodyBytes: z.coerce.number().int().positive().default(1 << 20),
  /** How long callers may keep an answer of `locate`, milliseconds. */
  locateMilliseconds: z.coerce.number().int().positive().default(2000),
  /** Deadline of a request that states none, milliseconds. */
  requestMilliseconds: z.coerce.number().int().positive().default(30000),
  /** Silence of an upstream after which the entry asks its agent about the request, milliseconds. */
  questionMilliseconds: z.coerce.number().int().positive().default(700),
  /** Silence within an answer after which its connection is given up, milliseconds. */
  progressMilliseconds: z.coerce.number().int().positive().default(2000),
  /** Entries that watch each upstream, counted within its data centre and once more among all. */
  upstreamWatchers: z.coerce.number().int().positive().default(16)
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
  /** Bytes a second that the instance's link carries for weights, each way; 0 for no limit. */
  linkBytes: z.coerce.number().int().nonnegative().default(0)
}).readonly()

export const daemonSettingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, agentSettingsSchema])

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>
