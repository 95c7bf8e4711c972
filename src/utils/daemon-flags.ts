/** Flags of the daemon: their help texts, and how their values are read and checked. */
import type { z } from 'zod'
import { FindingsError, type Finding } from '../errors.js'
import { agentSettingsSchema, daemonSettingsSchema, entrySettingsSchema, type DaemonSettings } from '../types/settings.js'
import { flagOf, placeOf, readSettings, type RawSettings } from './settings.js'

/** One flag; `value` and `text` are shown by `--help`. */
export interface DaemonFlag { readonly name: string, readonly value: string, readonly text: string }

/** All flags; each can also be set by its environment variable. */
export const daemonFlags: readonly DaemonFlag[] = [
  { name: 'role', value: 'entry|agent', text: 'What the process does: entry towards callers, agent in the slot of an upstream.' },
  { name: 'instance', value: 'name', text: 'Name of this instance, as the instance list has it.' },
  { name: 'dataCentre', value: 'name', text: 'Data centre in which the instance runs.' },
  { name: 'region', value: 'name', text: 'Region of the data centre.' },
  { name: 'listen', value: 'ip:port', text: 'Address that serves HTTP.' },
  { name: 'control', value: 'ip:port', text: 'Address that serves gRPC to the system\'s other processes.' },
  { name: 'log', value: 'url', text: 'Base URL of the platform\'s log, http://IP:PORT.' },
  { name: 'instances', value: 'url', text: 'Base URL of the platform\'s instance list, http://IP:PORT.' },
  { name: 'logLevel', value: 'info|warn|error|silent', text: 'Lowest level that is written to standard error (default info).' },
  { name: 'trace', value: 'on|off', text: 'Whether a span for each hop is written (default off).' },
  { name: 'bodyBytes', value: 'bytes', text: 'Entry: largest request body that is taken (default 1048576).' },
  { name: 'locateMilliseconds', value: 'milliseconds', text: 'Entry: how long callers may keep an answer of locate (default 2000).' },
  { name: 'requestMilliseconds', value: 'milliseconds', text: 'Entry: time for a request that states no deadline (default 30000).' },
  { name: 'questionMilliseconds', value: 'milliseconds', text: 'Entry: silence of an upstream after which its agent is asked about the request (default 700).' },
  { name: 'progressMilliseconds', value: 'milliseconds', text: 'Entry: silence within an answer after which its connection is given up (default 2000).' },
  { name: 'upstreamWatchers', value: 'number', text: 'Entry: entries that watch each upstream, within its data centre and once more among all (default 16).' },
  { name: 'service', value: 'name', text: 'Agent: service that the upstream belongs to.' },
  { name: 'upstream', value: 'url', text: 'Agent: base URL of the upstream, http://IP:PORT.' },
  { name: 'origin', value: 'url', text: 'Agent of a model engine: base URL of the origin of weights.' },
  { name: 'store', value: 'url', text: 'Agent of a model engine: base URL of the weight store.' },
  { name: 'linkBytes', value: 'bytes', text: 'Agent: bytes a second for weights on the instance\'s link, each way; 0 for no limit (default 0).' },
  { name: 'loadMilliseconds', value: 'milliseconds', text: 'Agent: least time between two reports of its load to an entry (default 200).' }
]

/** Example command lines in the output of `--help`. */
export const daemonExamples: readonly string[] = [
  'pollendyked --role entry --instance entry-0 --data-centre rajkot --region gujarat-west --listen 10.0.0.1:8080 --control 10.0.0.1:8081 --log http://10.0.9.1:80 --instances http://10.0.9.2:80',
  'pollendyked --role agent --instance citations-0 --data-centre rajkot --region gujarat-west --service citations --listen 10.0.0.2:8080 --control 10.0.0.2:8081 --upstream http://127.0.0.1:9000 --origin http://10.0.9.3:80 --store http://10.0.9.4:80 --log http://10.0.9.1:80 --instances http://10.0.9.2:80',
  'POLLENDYKE_ROLE=entry POLLENDYKE_LISTEN=10.0.0.1:8080 pollendyked --instance entry-0'
]

const names = daemonFlags.map(({ name }) => name)
const schemas = { entry: entrySettingsSchema, agent: agentSettingsSchema }

/** Reads the daemon's settings. Throws `FindingsError` with all findings. `words` are the arguments that are not flags; each is a finding. */
export function readDaemonSettings (raw: RawSettings, words: readonly string[] = []): DaemonSettings {
  const findings: Finding[] = words.map(word => ({ place: word, problem: 'is not a flag' }))
  const settings = collect(findings, raw, daemonSettingsSchema)
  const role = raw.flags['role'] ?? raw.environment['POLLENDYKE_ROLE']
  const isRole = role === 'entry' || role === 'agent'
  if (isRole) findings.push(...flagsOfOtherRole(raw, role))
  else collect(findings, { ...raw, flags: { ...raw.flags, role: 'entry' } }, entrySettingsSchema)
  if (settings !== undefined && settings.listen === settings.control) findings.push({ place: placeOf('control'), problem: `must differ from ${placeOf('listen')}` })
  if (settings !== undefined && findings.length === 0) return settings
  throw new FindingsError([...new Map(findings.map(finding => [`${finding.place} ${finding.problem}`, finding])).values()])
}

/** Reads settings; on failure adds the findings to `findings` and returns undefined. */
function collect<Schema extends z.ZodType> (findings: Finding[], raw: RawSettings, schema: Schema): z.infer<Schema> | undefined {
  try {
    return readSettings(schema, names, raw)
  } catch (error) {
    if (!(error instanceof FindingsError)) throw error
    findings.push(...error.findings)
    return undefined
  }
}

/** Findings for flags that belong only to the other role. Environment variables are not checked: they may be meant for another process. */
function flagsOfOtherRole (raw: RawSettings, role: 'entry' | 'agent'): readonly Finding[] {
  const settingsOfRole: Readonly<Record<string, unknown>> = schemas[role].unwrap().shape
  return Object.keys(raw.flags)
    .filter(flag => names.includes(flag) && !Object.hasOwn(settingsOfRole, flag))
    .map(flag => ({ place: flagOf(flag), problem: `does not belong to role ${role}` }))
}
