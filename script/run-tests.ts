/** Runs the tests, passes over what KNOWN-RED.txt lists, and ends on `N passed, N failed`. */
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../../', import.meta.url))
const testFolder = `${root}dist/test/`
const knownRedFile = `${root}KNOWN-RED.txt`
const maximumAssertionLines = 60

interface TestResult { readonly file: string, readonly name: string, readonly passed: boolean }

/** Names of the known failures: `test: NAME` lines of the list. */
function readKnownRed (): ReadonlySet<string> {
  if (!existsSync(knownRedFile)) return new Set()
  const lines = readFileSync(knownRedFile, 'utf8').split('\n')
  return new Set(lines.flatMap(line => line.startsWith('test: ') ? [line.slice('test: '.length).trim()] : []))
}

/** Test files to run; words on the command line select by part of the name. */
function chooseFiles (): readonly string[] {
  const words = process.argv.slice(2)
  const files = readdirSync(testFolder).filter(file => file.endsWith('.test.js')).sort()
  const chosen = words.length === 0 ? files : files.filter(file => words.some(word => file.includes(word)))
  if (chosen.length === 0) throw new Error(`no test file matches ${words.join(' ')}`)
  return chosen.map(file => `${testFolder}${file}`)
}

/** Runs tap and returns its output and exit code. */
async function runTap (files: readonly string[]): Promise<{ readonly output: string, readonly code: number }> {
  const words = ['run', '--reporter=tap', '--disable-coverage', '--allow-empty-coverage', '--jobs=4', '--timeout=300', ...files]
  const child = spawn(`${root}node_modules/.bin/tap`, words, { cwd: root, stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (part: Buffer) => { output += part.toString('utf8') })
  const code = await new Promise<number>(resolve => { child.on('close', exit => { resolve(exit ?? 1) }) })
  return { output, code }
}

/** Reads the tests of each file: the lines that TAP indents once. */
function readResults (output: string): readonly TestResult[] {
  let file = ''
  const results: TestResult[] = []
  for (const line of output.split('\n')) {
    const heading = /^# Subtest: (.*)$/.exec(line)
    if (heading !== null) file = heading[1] ?? ''
    const result = /^ {4}(not ok|ok) \d+ - (.*?)(?: # time=.*)?(?: \{)?$/.exec(line)
    if (result !== null) results.push({ file, name: (result[2] ?? '').trim(), passed: result[1] === 'ok' })
  }
  return results
}

/** Files that failed although none of their tests did: a crash, or no test at all. */
function readFailedFiles (output: string, results: readonly TestResult[]): readonly string[] {
  const files = [...output.matchAll(/^not ok \d+ - (.*?)(?: # time=.*)?(?: \{)?$/gm)].map(match => (match[1] ?? '').trim())
  return files.filter(file => !results.some(result => result.file === file && !result.passed))
}

/** Assertions that failed in a test and what tap says of each; empty if the output holds none. */
function readFailedAssertions (output: string, result: TestResult): readonly string[] {
  const lines = output.split('\n')
  const fileStart = lines.indexOf(`# Subtest: ${result.file}`)
  const start = lines.indexOf(`    # Subtest: ${result.name}`, fileStart)
  if (fileStart === -1 || start === -1) return []
  const end = lines.findIndex((line, index) => index > start && /^ {4}(not ok|ok) /.test(line))
  return lines.slice(start, end).filter(line => !/^ {8,}ok /.test(line)).slice(0, maximumAssertionLines)
}

const knownRed = readKnownRed()
const { output, code } = await runTap(chooseFiles())
const results = readResults(output)
const isKnown = (result: TestResult): boolean => [...knownRed].some(known => result.name === known)
const failed = results.filter(result => !result.passed)
const unknownFailures = failed.filter(result => !isKnown(result))
const passed = results.length - failed.length
const failedFiles = readFailedFiles(output, results)
const runFailed = code !== 0 && failed.length === 0 && failedFiles.length === 0

for (const result of results) process.stdout.write(`${result.passed ? 'ok    ' : 'FAILED'} ${result.file}: ${result.name}\n`)
if (code !== 0) process.stdout.write(`${output}\n`)
for (const result of failed.filter(isKnown)) process.stdout.write(`known red, passed over: ${result.name}\n`)
for (const result of unknownFailures) {
  process.stdout.write(`FAILED ${result.file}: ${result.name}\n${readFailedAssertions(output, result).join('\n')}\n`)
}
for (const file of failedFiles) process.stdout.write(`FAILED ${file}: the file itself\n`)
if (runFailed) process.stdout.write(`FAILED tap itself, exit code ${code}\n`)
const failures = unknownFailures.length + failedFiles.length + (runFailed ? 1 : 0)
process.stdout.write(`${passed} passed, ${failures} failed\n`)
process.exitCode = failures === 0 && passed > 0 ? 0 : 1
