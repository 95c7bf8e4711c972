/** Builds a rollout intent from command line flags and the manifest of its weights. */
import { readJsonFile, UnreachableError } from '../cli/settings.js'
import { shapeFindings } from '../core/configuration/check-answers.js'
import { FindingsError, type Finding } from '../errors.js'
import { requestJson } from '../transports/http-client.js'
import { changeSchema, intentSchema, type Change, type Configuration } from '../types/configuration.js'
import { manifestSchema, type Manifest } from '../types/platform.js'
import { digestValue } from '../utils/digest.js'

/** Time that the origin has to send a manifest. */
const requestTimeoutMilliseconds = 5000
/** Value of a list flag that selects every name of the configuration. */
const allNames = 'all'

/** Flags of the command `intent`. */
export interface IntentFlags {
  readonly service: string
  /** Comma-separated names, or `all`. */
  readonly organisations: string
  /** Comma-separated names, or `all`. */
  readonly dataCentres: string
  /** ISO time, or minutes from now such as `15m`. */
  readonly finishBy: string
}

/** Reads a manifest from a file, or from the origin if `source` is a digest. Throws a `FindingsError` if the manifest is invalid or does not match the digest, an `UnreachableError` if the origin does not send it. */
export async function readManifest (source: string, origin: string | undefined): Promise<Manifest> {
  const isDigest = /^[0-9a-f]{64}$/.test(source)
  if (isDigest && origin === undefined) throw new FindingsError([{ place: '--origin (POLLENDYKE_ORIGIN)', problem: 'is needed to read a manifest by its digest' }])
  const value = isDigest ? await fetchManifest(`${origin}/weights/${source}`) : readJsonFile(source)
  const findings = shapeFindings(manifestSchema, value)
  if (findings.length > 0) throw new FindingsError(findings.map(({ place, problem }) => ({ place: `${source}: ${place}`, problem })))
  const manifest = manifestSchema.parse(value)
  if (isDigest && digestValue(manifest) !== source) throw new FindingsError([{ place: `${origin}/weights/${source}`, problem: 'holds another manifest than its digest says' }])
  return manifest
}

/** Change that adds an intent to the configuration in force; `now` in epoch milliseconds. Throws a `FindingsError` for invalid flags. */
export function createIntent (id: string, manifest: Manifest, flags: IntentFlags, configuration: Configuration | undefined, now: number): Change {
  const { model, adapter, version } = manifest
  const organisations = parseNames(flags.organisations, Object.keys(configuration?.organisations ?? {}))
  const dataCentres = parseNames(flags.dataCentres, Object.keys(configuration?.dataCentres ?? {}))
  const intent = { id, service: flags.service, model, adapter, version, manifest: digestValue(manifest), organisations, dataCentres, finishBy: parseFinishBy(flags.finishBy, now) }
  const findings: readonly Finding[] = shapeFindings(intentSchema, intent)
  if (findings.length > 0) throw new FindingsError(findings.map(({ place, problem }) => ({ place: `intent: ${place}`, problem })))
  return changeSchema.parse({ kind: 'intent', intent })
}

async function fetchManifest (url: string): Promise<unknown> {
  try {
    return await requestJson({ url, method: 'GET', deadline: Date.now() + requestTimeoutMilliseconds })
  } catch (error) {
    throw new UnreachableError(`the manifest at ${url} cannot be read: ${(error as Error).message}`)
  }
}

function parseNames (text: string, known: readonly string[]): readonly string[] {
  return text === allNames ? known : text.split(',').map(name => name.trim()).filter(name => name !== '')
}

/** Epoch milliseconds of an ISO time or of minutes from `now`. */
function parseFinishBy (text: string, now: number): number {
  const minutes = /^(\d{1,5})m$/.exec(text)?.[1]
  const time = minutes === undefined ? Date.parse(text) : now + Number(minutes) * 60_000
  if (Number.isNaN(time)) throw new FindingsError([{ place: '--finish-by', problem: `"${text}" is neither a time such as 2030-01-31T18:00:00Z nor minutes such as 15m` }])
  return time
}
