/* Runs the archive that is appended to this executable.
 *
 * The interpreter is linked in; the standard library, the program and its
 * packages are read from the archive (PEP 273). Environment variables and
 * files of the machine's own Python are ignored.
 */

#include <Python.h>

#define EXECUTABLE "/proc/self/exe"
#define RUN L"import pollenfork_start"

static char path[4096];

static PyStatus configure(PyConfig *config, int argc, char **argv) {
  PyStatus status = PyConfig_SetBytesString(config, &config->executable, path);
  if (PyStatus_Exception(status)) return status;
  status = PyConfig_SetString(config, &config->run_command, RUN);
  if (PyStatus_Exception(status)) return status;
  status = PyConfig_SetBytesArgv(config, argc, argv);
  if (PyStatus_Exception(status)) return status;
  config->parse_argv = 0;
  config->site_import = 0;
  config->write_bytecode = 0;
  config->module_search_paths_set = 1;
  return PyWideStringList_Append(&config->module_search_paths,
                                 config->executable);
}

int main(int argc, char **argv) {
  ssize_t size = readlink(EXECUTABLE, path, sizeof path - 1);
  if (size < 0) {
    perror("pollenfork: " EXECUTABLE);
    return 1;
  }
  PyPreConfig pre;
  PyPreConfig_InitIsolatedConfig(&pre);
  pre.utf8_mode = 1;
  PyStatus status = Py_PreInitialize(&pre);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);

  PyConfig config;
  PyConfig_InitIsolatedConfig(&config);
  status = configure(&config, argc, argv);
  if (!PyStatus_Exception(status)) status = Py_InitializeFromConfig(&config);
  PyConfig_Clear(&config);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);
  return Py_RunMain();
}
