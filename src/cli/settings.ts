/** Settings, exit codes and input files of the command line. */
import { createPrivateKey, type KeyObject } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { z } from 'zod'
import { FindingsError } from '../errors.js'
import { readSettings } from '../utils/settings.js'

/** Exit codes of `pollendyke`. */
export const exitCodes = {
  ok: 0,
  /** The change was refused, or another change of its scope came first. */
  refused: 1,
  /** The input is invalid; each finding was printed with its place. */
  badInput: 2,
  /** The log or the nodes cannot be reached, or the outcome of a change is unknown. */
  unknown: 3,
  /** The change was accepted, but is not in force on every node yet. */
  notYetInForce: 4
} as const

/** The log, the instance list, the origin or every entry cannot be reached. */
export class UnreachableError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'UnreachableError'
  }
}

const urlSchema = z.string().regex(/^http:\/\/\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be http://IP:PORT')
const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT')

const settingSchemas = {
  log: urlSchema,
  instances: urlSchema.optional(),
  entry: addressSchema.optional(),
  origin: urlSchema.optional(),
  store: addressSchema.optional(),
  author: z.string().min(1).max(128).default(() => userInfo().username),
  key: z.string().min(1).optional(),
  wait: z.coerce.number().positive().max(3600).default(15)
} as const

/** Name of a setting, as in its flag. */
export type SettingName = keyof typeof settingSchemas

/** Reads the named settings from flags, then environment variables; other options are ignored. Throws a `FindingsError` that lists every invalid setting. */
export function settingsFrom<Name extends SettingName> (names: readonly Name[], options: Readonly<Record<string, unknown>>): { readonly [Key in Name]: z.infer<typeof settingSchemas[Key]> } {
  const schema = z.object(Object.fromEntries(names.map(name => [name, settingSchemas[name]])))
  const flags = Object.fromEntries(names.flatMap(name => options[name] === undefined ? [] : [[name, options[name]]]))
  return readSettings(schema, names, { flags, environment: process.env }) as { readonly [Key in Name]: z.infer<typeof settingSchemas[Key]> }
}

/** Parses a JSON file. Throws a `FindingsError` that names the file and, for a syntax error, its line and column. */
export function readJsonFile (file: string): unknown {
  const text = readFile(file)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new FindingsError([{ place: `${file}${syntaxErrorPosition(text)}`, problem: `is not JSON: ${(error as Error).message.replaceAll(/\s+/g, ' ')}` }])
  }
}

/** Parses a JSON file and checks its value; the place of each finding of `check` gets the file name as prefix. */
export function readCheckedFile<Value> (file: string, check: (value: unknown) => Value): Value {
  const value = readJsonFile(file)
  try {
    return check(value)
  } catch (error) {
    if (!(error instanceof FindingsError)) throw error
    throw new FindingsError(error.findings.map(({ place, problem }) => ({ place: `${file}: ${place}`, problem })))
  }
}

/** Reads a private Ed25519 key in PEM; throws a `FindingsError` for any other file. */
export function readPrivateKey (file: string): KeyObject {
  const text = readFile(file)
  try {
    const key = createPrivateKey(text)
    if (key.asymmetricKeyType === 'ed25519') return key
  } catch {
    // Not a private key in PEM: reported below.
  }
  throw new FindingsError([{ place: file, problem: 'is no private Ed25519 key in PEM' }])
}

function readFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new FindingsError([{ place: file, problem: `cannot be read: ${(error as Error).message}` }])
  }
}

/** Line and column, as `:LINE:COLUMN`, of the first character that cannot be part of valid JSON, or of the end of a truncated text. Found by binary search over prefixes, as the parser's message does not always name a position. */
function syntaxErrorPosition (text: string): string {
  let validLength = 0
  let invalidLength = text.length + 1
  while (invalidLength - validLength > 1) {
    const middle = Math.floor((validLength + invalidLength) / 2)
    if (isJsonPrefix(text.slice(0, middle))) validLength = middle
    else invalidLength = middle
  }
  const lines = text.slice(0, validLength).split('\n')
  return `:${lines.length}:${(lines.at(-1)?.length ?? 0) + 1}`
}

/** Whether `text` is JSON or could be continued to JSON; for the latter, the parser fails at the end of the text. */
function isJsonPrefix (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch (error) {
    const { message } = error as Error
    const position = /position (\d+)/.exec(message)?.[1]
    return message.includes('end of JSON input') || message.startsWith('Unterminated') || Number(position ?? -1) >= text.length
  }
}
